// Package mcobserve sets up the logger, the metrics and the tracer of a process.
package mcobserve

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger that writes each event to w as one line of key=value pairs.
// The message is written as the event name. An empty or unknown level means info.
func NewLogger(w io.Writer, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	console := zerolog.ConsoleWriter{
		Out:             w,
		NoColor:         true,
		TimeFormat:      time.RFC3339Nano,
		PartsOrder:      []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp: func(v any) string { return "time=" + stringValue(v) },
		FormatLevel:     func(v any) string { return "level=" + stringValue(v) },
		FormatMessage:   func(v any) string { return "event=" + stringValue(v) },
	}
	return zerolog.New(console).Level(parsed).With().Timestamp().Logger()
}

func stringValue(v any) string {
	s, ok := v.(string)
	if !ok {
		return ""
	}
	return s
}
