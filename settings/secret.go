package settings

import "log/slog"

// Secret is a credential. It is not shown in logs.
type Secret string

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value {
	return slog.StringValue("(secret)")
}

// String hides the value from formatted output; convert with string(s) to use it.
func (Secret) String() string {
	return "(secret)"
}
