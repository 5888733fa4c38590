package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"dykeledge/internal/protocol"
	"dykeledge/internal/storage"
)

// operatorState holds the operators' settings in force and the recent victim sets that are shown to them. It
// is written by this file and victim_set_views.go.
type operatorState struct {
	settings           OperatorSettings
	version            uint64 // version of the settings record that was last applied or refused
	recentVictimSets   []VictimSetView
	recordedVictimSets map[string]uint64 // by job: version of its last recorded victim set
}

// OperatorSettings are the settings that operators may change at run time.
type OperatorSettings struct {
	Alpha              float64 `json:"alpha"`
	RebalanceIntervalS float64 `json:"move_every_s"`
	LogLevel           string  `json:"log_level"`
}

// Names of the settings.
const (
	settingAlpha              = "alpha"
	settingRebalanceIntervalS = "move_every_s"
	settingLogLevel           = "log_level"
)

// Bounds of the settings.
const (
	maxAlpha              = 1
	minRebalanceIntervalS = 0.25
	maxRebalanceIntervalS = 60
)

// logLevelFromStart keeps the log level that each controller was started with.
const logLevelFromStart = "as_started"

var logLevels = []string{logLevelFromStart, "error", "info", "debug"}

// DefaultOperatorSettings returns the settings that apply until an operator changes them.
func DefaultOperatorSettings() OperatorSettings {
	return OperatorSettings{Alpha: DefaultAlpha, RebalanceIntervalS: DefaultTiming().RebalanceInterval.Seconds(), LogLevel: logLevelFromStart}
}

// SettingInfo describes one setting.
type SettingInfo struct {
	Name    string `json:"name"`
	Default any    `json:"default"`
	Range   string `json:"range"`
	Reason  string `json:"reason"`
}

// SettingsInfo returns the descriptions of all settings.
func SettingsInfo() []SettingInfo {
	defaults := DefaultOperatorSettings()
	return []SettingInfo{
		{settingAlpha, defaults.Alpha, "0 to 1", "weight of work lost against time waited when evictions are ranked; 0 looks only at waiting, 1 only at loss"},
		{settingRebalanceIntervalS, defaults.RebalanceIntervalS, "0.25 to 60", "how often the leader moves machines between shares"},
		{settingLogLevel, defaults.LogLevel, "as_started, error, info or debug", "how much all nodes log; as_started follows LOG_LEVEL"},
	}
}

// FieldError is the error for an invalid setting: its name and the value that was expected.
type FieldError struct{ Field, Expected string }

// Error returns the name of the setting and the expected value.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: expected %s", e.Field, e.Expected) }

// ErrVersionConflict is returned if the record was changed since the version that the change is based on.
var ErrVersionConflict = errors.New("the settings have changed since this version was read")

// ErrStoreUnavailable is returned if the state service does not answer.
var ErrStoreUnavailable = errors.New("the state service does not answer")

// Change returns the settings with a change applied, a JSON object of names and values. If any part of it is
// invalid it returns an error, and the settings that it returns must not be used.
func (s OperatorSettings) Change(raw json.RawMessage) (OperatorSettings, error) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(raw, &values); err != nil || values == nil {
		return s, &FieldError{"settings", "an object of names and values"}
	}
	if len(values) == 0 {
		return s, &FieldError{"settings", "at least one name"}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !s.set(name, values[name]) {
			return s, settingError(name)
		}
	}
	return s, nil
}

// set sets one setting and reports whether its name is known and the value is within its range.
func (s *OperatorSettings) set(name string, value json.RawMessage) bool {
	var err error
	var inRange bool
	switch name {
	case settingAlpha:
		err = json.Unmarshal(value, &s.Alpha)
		inRange = s.Alpha >= 0 && s.Alpha <= maxAlpha
	case settingRebalanceIntervalS:
		err = json.Unmarshal(value, &s.RebalanceIntervalS)
		inRange = s.RebalanceIntervalS >= minRebalanceIntervalS && s.RebalanceIntervalS <= maxRebalanceIntervalS
	case settingLogLevel:
		err = json.Unmarshal(value, &s.LogLevel)
		inRange = slices.Contains(logLevels, s.LogLevel)
	}
	return err == nil && inRange && !bytes.Equal(bytes.TrimSpace(value), []byte("null"))
}

// settingError returns the error for a setting that is unknown or out of range.
func settingError(name string) error {
	for _, info := range SettingsInfo() {
		if info.Name == name {
			return &FieldError{name, info.Range}
		}
	}
	return &FieldError{name, "a known setting"}
}

// applySettings applies the settings record of the state service if its version has changed.
func (c *Controller) applySettings() {
	record := c.cache.Settings
	if record.Version == c.operator.version {
		return
	}
	c.operator.version = record.Version
	settings := DefaultOperatorSettings()
	if record.Value != nil {
		var err error
		if settings, err = settings.Change(record.Value); err != nil {
			c.log.Error("invalid settings record in the state service, keeping the current settings", "err", err)
			return
		}
	}
	c.operator.settings = settings
	c.planner.alpha = settings.Alpha
	c.timing.RebalanceInterval = seconds(settings.RebalanceIntervalS)
	if c.OnLogLevel != nil {
		c.OnLogLevel(settings.LogLevel)
	}
	c.log.Info("settings applied", "version", record.Version, settingAlpha, settings.Alpha,
		settingRebalanceIntervalS, settings.RebalanceIntervalS, settingLogLevel, settings.LogLevel)
}

// Settings returns the operators' settings and their version, read behind a read barrier.
func (c *Controller) Settings(ctx context.Context) (OperatorSettings, uint64, error) {
	var settings OperatorSettings
	var version uint64
	if err := c.Barrier(ctx); err != nil {
		return settings, 0, ErrStoreUnavailable
	}
	err := c.call(ctx, func() { settings, version = c.operator.settings, c.cache.Settings.Version })
	return settings, version, err
}

// ChangeSettings changes the operators' settings if version is still their current version.
func (c *Controller) ChangeSettings(ctx context.Context, version uint64, change json.RawMessage) (OperatorSettings, uint64, error) {
	current, currentVersion, err := c.Settings(ctx)
	if err != nil {
		return current, 0, err
	}
	next, err := current.Change(change)
	if err != nil {
		return current, currentVersion, err
	}
	if version != currentVersion {
		return current, currentVersion, ErrVersionConflict
	}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: storage.SettingsKey, Version: currentVersion}},
		Then: []protocol.Change{{Put: storage.SettingsKey, Value: storage.Encode(next)}},
	}
	revision, failed, err := c.store.Txn(ctx, txn, protocol.UserRequest)
	switch {
	case err != nil:
		return current, currentVersion, ErrStoreUnavailable
	case len(failed) > 0:
		return current, currentVersion, ErrVersionConflict
	}
	err = c.call(ctx, func() { c.applyTxn(txn, revision); c.onRecordsChanged() })
	c.log.Info("settings changed by an operator", "version", revision, "change", string(change))
	return next, revision, err
}
