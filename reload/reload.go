package reload

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/event"
)

// pollInterval is the time between two checks of the settings file, which may change without a signal.
const pollInterval = 2 * time.Second

// Settings holds the settings in force.
type Settings struct {
	// Read reads the settings again; nil if they never change.
	Read func() (*conf.Node, error)
	// OnChange is called with the previous and the new settings after each reload on a signal, and
	// after a check of the file if they differ.
	OnChange func(old, updated *conf.Node)
	Events   *event.Logger

	current atomic.Pointer[conf.Node]
	// hangups receives SIGHUP.
	hangups chan os.Signal
}

// Prepare sets the initial settings. From then on SIGHUP requests a reload. Its default action
// would terminate the process with requests in progress.
func (s *Settings) Prepare(start *conf.Node) {
	s.current.Store(start)
	s.hangups = make(chan os.Signal, 1)
	signal.Notify(s.hangups, syscall.SIGHUP)
}

// Current returns the settings in force.
func (s *Settings) Current() *conf.Node { return s.current.Load() }

// Run reloads the settings on SIGHUP, and whenever the file has changed, until ctx ends.
func (s *Settings) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.hangups:
			s.reload("signal")
		case <-t.C:
			s.reload("file")
		}
	}
}

// reload reads the settings file. If the file is invalid, reload logs the error and keeps the
// current settings.
func (s *Settings) reload(source string) {
	if s.Read == nil {
		return
	}
	updated, err := s.Read()
	if err != nil {
		s.Events.Warn(event.Reloaded).Str("source", source).Err(err).Msg("settings could not be read; keeping the current settings")
		return
	}
	old := s.current.Load()
	changed := changedFields(old, updated)
	if len(changed) == 0 && source == "file" {
		return
	}
	s.current.Store(updated)
	s.OnChange(old, updated)
	s.Events.Info(event.Reloaded).Str("source", source).Strs("changed", changed).Msg("settings reloaded")
}

// changedFields returns the names of the fields that differ, with their new and old values.
func changedFields(old, updated *conf.Node) []string {
	var changed []string
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*updated)
	for i := range a.NumField() {
		if x, y := a.Field(i).Interface(), b.Field(i).Interface(); x != y {
			changed = append(changed, fmt.Sprintf("%s: %v, was %v", a.Type().Field(i).Name, y, x))
		}
	}
	return changed
}
