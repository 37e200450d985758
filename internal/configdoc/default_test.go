package configdoc

import (
	"fmt"
	"time"
)

// defaultText formats a default as the doc comments do, with durations in whole seconds.
func defaultText(value any) string {
	text := fmt.Sprint(value)
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return fmt.Sprintf("%ds", int(d.Seconds()))
	}
	return text
}
