package conf

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"
)

// Prefix is the prefix of the names of all environment variables of the program.
const Prefix = "SARDINEROCK_"

// Setting describes one setting, for --help and for docs/SETTINGS.md.
type Setting struct {
	Flag     string
	Variable string
	Default  string
	Help     string
	field    string
}

// Settings lists the settings of the struct that settings points to: the fields with a flag tag, described by
// their tags flag, env, envDefault and help.
func Settings(settings any) []Setting {
	var all []Setting
	for _, f := range reflect.VisibleFields(reflect.TypeOf(settings).Elem()) {
		name := f.Tag.Get("flag")
		if name == "" {
			continue
		}
		all = append(all, Setting{
			Flag:     name,
			Variable: Prefix + f.Tag.Get("env"),
			Default:  f.Tag.Get("envDefault"),
			Help:     f.Tag.Get("help"),
			field:    f.Name,
		})
	}
	return all
}

// Binding connects the flags of a subcommand with a struct of settings.
type Binding struct {
	// Settings is a pointer to the struct.
	Settings any

	sub    *flaggy.Subcommand
	values map[string]*string
}

// Bind adds a flag to the subcommand for each setting. Flags are read as strings
// and override environment variables, so that Fill parses the values of both and
// reports errors for both in one place.
func Bind(sub *flaggy.Subcommand, settings any) *Binding {
	b := &Binding{Settings: settings, sub: sub, values: map[string]*string{}}
	for _, s := range Settings(settings) {
		value := s.Default
		b.values[s.Flag] = &value
		sub.String(&value, "", s.Flag, fmt.Sprintf("%s [%s]", s.Help, s.Variable))
	}
	return b
}

// Fill sets the struct from flags, environment variables and defaults, in this
// order of precedence. Call it after the command line has been parsed. Errors name
// the flag and the variable.
func (b *Binding) Fill() error {
	values := environment()
	for _, s := range Settings(b.Settings) {
		if b.isSet(s.Flag) {
			values[s.Variable] = *b.values[s.Flag]
		}
	}
	if err := env.ParseWithOptions(b.Settings, env.Options{Prefix: Prefix, Environment: values}); err != nil {
		return describeErrors(b.Settings, err)
	}
	return nil
}

func (b *Binding) isSet(flag string) bool {
	for _, v := range b.sub.ParsedValues {
		// The key of a flag written as --shards=8 includes the value.
		name, _, _ := strings.Cut(v.Key, "=")
		if name == flag {
			return true
		}
	}
	return false
}

func environment() map[string]string {
	values := map[string]string{}
	for _, assignment := range os.Environ() {
		name, value, _ := strings.Cut(assignment, "=")
		if strings.HasPrefix(name, Prefix) {
			values[name] = value
		}
	}
	return values
}

// describeErrors replaces the struct's field in parse errors with the flag and the variable at fault.
func describeErrors(settings any, err error) error {
	var aggregate env.AggregateError
	if !errors.As(err, &aggregate) {
		return err
	}
	var faults []error
	for _, e := range aggregate.Errors {
		var parse env.ParseError
		if !errors.As(e, &parse) {
			faults = append(faults, e)
			continue
		}
		all := Settings(settings)
		i := slices.IndexFunc(all, func(s Setting) bool { return s.field == parse.Name })
		faults = append(faults, fmt.Errorf("--%s (%s): %w; give a %s", all[i].Flag, all[i].Variable, parse.Err, expectedType(parse.Type)))
	}
	return errors.Join(faults...)
}

func expectedType(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "duration such as 30s or 1m30s"
	}
	return "number"
}

// UnknownVariables returns an error for each environment variable with Prefix that
// is not a known setting. Without this check a misspelled variable would be ignored.
func UnknownVariables(known []Setting) error {
	var faults []error
	for name := range environment() {
		if !slices.ContainsFunc(known, func(s Setting) bool { return s.Variable == name }) {
			faults = append(faults, fmt.Errorf("%s: unknown setting; --help of each subcommand lists the settings", name))
		}
	}
	return errors.Join(faults...)
}
