package node

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sardinerock/sardinerock/conf"
	"github.com/sardinerock/sardinerock/event"
)

// settingsTick is between two looks at the settings file, which may change without a signal.
const settingsTick = 2 * time.Second

// followSettings takes changed settings. SIGHUP asks for it; its default action
// would end the process in the middle of its answers.
func (n *Node) followSettings(ctx context.Context, asked <-chan os.Signal) {
	t := time.NewTicker(settingsTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			n.reload("signal")
		case <-t.C:
			n.reload("file")
		}
	}
}

// notifyReload returns a channel of the requests to read the settings anew.
func notifyReload() chan os.Signal {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	return asked
}

// reload reads the settings file. A faulty one is passed over with its fault in
// the log: the process goes on with the settings that it has.
func (n *Node) reload(source string) {
	if n.ReadSettings == nil {
		return
	}
	fresh, err := n.ReadSettings()
	if err != nil {
		n.Events.Warn(event.Reloaded).Str("source", source).Err(err).Msg("settings aren't usable, those before stay in force")
		return
	}
	old := n.settings.Load()
	changed := changedFields(old, fresh)
	if len(changed) == 0 && source == "file" {
		return
	}
	n.settings.Store(fresh)
	if old.StoreAddress != fresh.StoreAddress && n.MoveStore != nil {
		n.MoveStore(fresh.StoreAddress)
	}
	n.Events.Info(event.Reloaded).Str("source", source).Strs("changed", changed).Msg("settings read again")
}

// changedFields names the fields that differ, with both values.
func changedFields(old, fresh *conf.Node) []string {
	var changed []string
	a, b := reflect.ValueOf(*old), reflect.ValueOf(*fresh)
	for i := range a.NumField() {
		if x, y := a.Field(i).Interface(), b.Field(i).Interface(); x != y {
			changed = append(changed, fmt.Sprintf("%s: %v, was %v", a.Type().Field(i).Name, y, x))
		}
	}
	return changed
}
