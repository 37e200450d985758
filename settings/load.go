package settings

import (
	"bytes"
	"errors"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxFileBytes is the maximum size of a settings file, in bytes.
const MaxFileBytes = 1 << 20

// Load reads, decodes and validates the settings file at path. Errors are of type *Error.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, &Error{File: path, Message: "cannot be opened: " + err.Error()}
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return Settings{}, &Error{File: path, Message: "cannot be read: " + err.Error()}
	}
	return Parse(path, content)
}

// Parse decodes and validates the content of a settings file. Errors are of type
// *Error, with name as File.
func Parse(name string, content []byte) (Settings, error) {
	if len(content) > MaxFileBytes {
		return Settings{}, &Error{File: name, Message: "larger than 1048576 bytes"}
	}
	root, fault := parseDocument(name, content)
	if fault != nil {
		return Settings{}, fault
	}
	settings := Default()
	if fault := checkKeys(root, settings); fault != nil {
		fault.File = name
		return Settings{}, fault
	}
	if err := root.Decode(&settings); err != nil {
		return Settings{}, decodeError(name, root, err)
	}
	if fault := checkValues(root, settings); fault != nil {
		fault.File = name
		return Settings{}, fault
	}
	return settings, nil
}

func parseDocument(name string, content []byte) (*yaml.Node, *Error) {
	var document yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, &Error{File: name, Line: 1, Message: "the file is empty"}
		}
		return nil, syntaxError(name, err)
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, &Error{File: name, Line: second.Line, Message: "more than one document; allowed is one"}
	}
	root := document.Content[0]
	if root.Kind != yaml.MappingNode {
		return nil, &Error{File: name, Line: root.Line, Message: "not a mapping of fields"}
	}
	return root, nil
}

var linePattern = regexp.MustCompile(`line (\d+): `)

func syntaxError(name string, err error) *Error {
	line, message := cutLineNumber(err.Error())
	return &Error{File: name, Line: line, Message: message}
}

func decodeError(name string, root *yaml.Node, err error) *Error {
	message := err.Error()
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		message = typeError.Errors[0]
	}
	line, message := cutLineNumber(message)
	if line == 0 {
		line, message = locateDuration(root, message)
	}
	return &Error{File: name, Line: line, Field: fieldOnLine(root, line), Message: message}
}

// cutLineNumber splits a message of the YAML library into its line number (0 if it
// has none) and the text that follows.
func cutLineNumber(message string) (int, string) {
	message = strings.TrimPrefix(message, "yaml: ")
	match := linePattern.FindStringSubmatchIndex(message)
	if match == nil {
		return 0, message
	}
	line, _ := strconv.Atoi(message[match[2]:match[3]])
	return line, message[match[1]:]
}

// locateDuration returns the line of the first scalar equal to the value that Duration.UnmarshalYAML rejected, 0 if there
// is none, because the YAML library gives no line for errors of custom types. The value is the quoted part of message,
// which is returned unchanged.
func locateDuration(root *yaml.Node, message string) (int, string) {
	quoted := strings.SplitN(message, `"`, 3)
	if len(quoted) < 3 {
		return 0, message
	}
	found := 0
	walkScalars(root, "", func(_ string, value *yaml.Node) {
		if found == 0 && value.Value == quoted[1] {
			found = value.Line
		}
	})
	return found, message
}

// fieldOnLine returns the path of the last scalar on a line, or "" if there is none.
func fieldOnLine(root *yaml.Node, line int) string {
	field := ""
	walkScalars(root, "", func(path string, value *yaml.Node) {
		if value.Line == line {
			field = path
		}
	})
	return field
}
