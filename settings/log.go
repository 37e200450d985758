package settings

import (
	"io"
	"log/slog"
)

// Log configures the process log, which is written to standard error.
type Log struct {
	// Level is the minimum level: "debug", "info", "warn" or "error". Default "info".
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Format is "json" or "text". Default "json".
	Format string `yaml:"format" validate:"oneof=json text"`
}

// Logger returns a logger that writes to w with the configured level and format.
func (l Log) Logger(w io.Writer) *slog.Logger {
	options := &slog.HandlerOptions{Level: l.slogLevel()}
	if l.Format == "text" {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}

func (l Log) slogLevel() slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(l.Level)); err != nil {
		return slog.LevelInfo
	}
	return level
}
