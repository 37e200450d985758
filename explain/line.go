// Package explain reconstructs the history of one request from the log lines of
// entry instances, together with the state that these instances logged until
// shortly after the request's last line. hoistctl explain uses it.
package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Line is one log line of an entry instance.
type Line struct {
	Time     time.Time
	Level    string
	Message  string
	Instance string
	// Fields holds all other fields by name.
	Fields map[string]any
}

// ParseLine parses a JSON log line. It skips text before the first brace, such as the prefix of a log collector. ok is
// false if text is not a log line with a message and an RFC 3339 time.
func ParseLine(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // boot numbers exceed the integers that a float64 represents exactly
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	takeText := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line = Line{Level: takeText("level"), Message: takeText("msg"), Instance: takeText("instance"), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, takeText("time"))
	line.Time = at
	return line, err == nil && line.Message != ""
}

// Text returns the value of a field as text, or "" if the line lacks the field.
func (l Line) Text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// String formats the line for display: time, instance, message, then the fields sorted by name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}
