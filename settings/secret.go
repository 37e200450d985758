package settings

import "log/slog"

// Secret is a credential. Logs and formatted output show "(secret)" in its place.
type Secret string

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value {
	return slog.StringValue("(secret)")
}

// String implements fmt.Stringer without the value; the conversion string(s) returns the value.
func (Secret) String() string {
	return "(secret)"
}
