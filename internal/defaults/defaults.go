// Package defaults assigns default values to configuration fields that are not
// set.
package defaults

import "time"

// Set assigns defaultValue to *value if *value is 0 or below.
func Set[T int | float64 | time.Duration](value *T, defaultValue T) {
	if *value <= 0 {
		*value = defaultValue
	}
}
