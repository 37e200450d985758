// Package explain finds the course of one request in the log lines of entry
// instances, with the state of each instance that the request met there.
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
	// Fields has all other fields.
	Fields map[string]any
}

// ParseLine reads a JSON line. Text before the first brace, such as a collector's prefix, is skipped. ok is false for
// text that is no log line.
func ParseLine(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(text[start:]))
	decoder.UseNumber() // boots are larger than a float holds exactly
	if err := decoder.Decode(&fields); err != nil {
		return Line{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line = Line{Level: take("level"), Message: take("msg"), Instance: take("instance"), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	line.Time = at
	return line, err == nil && line.Message != ""
}

// Text returns the value of a field as text, "" when it is absent.
func (l Line) Text(name string) string {
	value, ok := l.Fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// String returns the line for people: time, instance, message and fields by name.
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
