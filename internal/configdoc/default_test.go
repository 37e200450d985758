package configdoc

import (
	"fmt"
	"time"
)

// defaultText writes a default as the doc comments do: durations in seconds.
func defaultText(value any) string {
	text := fmt.Sprint(value)
	if d, err := time.ParseDuration(text); err == nil && d > 0 {
		return fmt.Sprintf("%ds", int(d.Seconds()))
	}
	return text
}
