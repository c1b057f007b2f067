package mcentry

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"marigoldcroft/mclimit"
	"marigoldcroft/mcsetting"
)

// settingsCheckInterval is the time between two checks of the settings file, which is also
// reloaded when it changes without a signal.
const settingsCheckInterval = 2 * time.Second

// retryLimits returns a function that computes the limits of this instance's retry
// budget from the current settings.
func (e *Forwarding) retryLimits(started time.Time) func(now time.Time) mclimit.RetryLimits {
	return func(now time.Time) mclimit.RetryLimits {
		s := e.reloaded.Load()
		return mclimit.SharedRetryLimits(s.RetryRatio, s.RetrySlack, s.RetryWindow, started, e.instanceCount)(now)
	}
}

// watchSettings reloads the settings when the file changes or a hang-up signal arrives.
func (e *Forwarding) watchSettings(ctx context.Context) {
	if e.SettingsFile == "" {
		return
	}
	// If the file cannot be read now, the next check reads it.
	previous, _ := os.ReadFile(e.SettingsFile)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.Hangup:
			signalled = true
		}
		text, err := os.ReadFile(e.SettingsFile)
		if err != nil {
			e.logger.Error().Err(err).Msg("settingsUnreadable")
			continue
		}
		if signalled || !bytes.Equal(text, previous) {
			previous = text
			e.reload(text, signalled)
		}
	}
}

// reload applies the settings that can change at run time, which are those of the retry
// budget. Other changed settings need a restart and are named in the log line.
func (e *Forwarding) reload(text []byte, signalled bool) {
	next, err := mcsetting.Decode(text)
	if err != nil {
		e.logger.Error().Err(err).Bool("signalled", signalled).Msg("settingsRefused")
		return
	}
	before := *e.reloaded.Load()
	after := before
	after.RetryRatio, after.RetrySlack, after.RetryWindow = next.Forward.RetryRatio, next.Forward.RetrySlack, next.Forward.RetryWindow
	e.reloaded.Store(&after)
	next.Forward.RetryRatio, next.Forward.RetrySlack, next.Forward.RetryWindow = before.RetryRatio, before.RetrySlack, before.RetryWindow
	current := e.Settings
	current.Forward.RetryRatio, current.Forward.RetrySlack, current.Forward.RetryWindow = before.RetryRatio, before.RetrySlack, before.RetryWindow
	e.logger.Info().Bool("signalled", signalled).Bool("retryBudgetChanged", before != after).
		Strs("needRestart", changedFields(current, next)).Msg("settingsReloaded")
}

// changedFields returns the YAML names of the top-level fields that differ.
func changedFields(a, b mcsetting.Settings) []string {
	names := []string{}
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Tag.Get("yaml"))
		}
	}
	return names
}
