// Package defaults fills in the fields of configurations that are not set.
package defaults

import "time"

// Set gives value the default unless it is above 0.
func Set[T int | float64 | time.Duration](value *T, standard T) {
	if *value <= 0 {
		*value = standard
	}
}
