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

// reload applies the settings that can change at run time. Other changed settings need a restart and
// are named in the log line.
func (e *Forwarding) reload(text []byte, signalled bool) {
	next, err := mcsetting.Decode(text)
	if err != nil {
		e.logger.Error().Err(err).Bool("signalled", signalled).Msg("settingsRefused")
		return
	}
	before := *e.reloaded.Load()
	after := before
	copyReloadable(&after, next.Forward)
	e.reloaded.Store(&after)
	e.router.SetLease(after.KeyLease)
	copyReloadable(&next.Forward, e.Settings.Forward)
	retry := before.RetryRatio != after.RetryRatio || before.RetrySlack != after.RetrySlack || before.RetryWindow != after.RetryWindow
	e.logger.Info().Bool("signalled", signalled).Strs("changed", changedFields("forward.", before, after)).Bool("retryBudgetChanged", retry).
		Strs("needRestart", changedFields("", e.Settings, next)).Msg("settingsReloaded")
}

// copyReloadable copies the settings that are read each time they are used.
func copyReloadable(to *mcsetting.Forward, from mcsetting.Forward) {
	to.RetryRatio, to.RetrySlack, to.RetryWindow = from.RetryRatio, from.RetrySlack, from.RetryWindow
	to.Grace, to.KeyLease = from.Grace, from.KeyLease
}

// changedFields returns the YAML names of the fields that differ, each after the prefix.
func changedFields[T any](prefix string, a, b T) []string {
	return changedValues(prefix, reflect.ValueOf(a), reflect.ValueOf(b))
}

func changedValues(prefix string, a, b reflect.Value) []string {
	names := []string{}
	for i := range a.NumField() {
		name := prefix + a.Type().Field(i).Tag.Get("yaml")
		switch {
		case reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
		case a.Field(i).Kind() == reflect.Struct:
			names = append(names, changedValues(name+".", a.Field(i), b.Field(i))...)
		default:
			names = append(names, name)
		}
	}
	return names
}
