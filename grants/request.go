package grants

import (
	"crypto/rand"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/forms"
)

// ItemRequest returns the request for a batch item of the named caller.
func (d *Directory) ItemRequest(caller, path string, body []byte) (*sardinerock.Request, error) {
	found := d.callers[caller]
	if found == nil {
		return nil, forms.Refuse(sardinerock.CodeForbidden, "", "caller %q is not in the bundle in force", caller)
	}
	r, _, err := d.NewRequest(found, path, body)
	return r, err
}

// NewRequest parses a caller's completion call on path and returns its request and the parsed call.
func (d *Directory) NewRequest(c *sardinerock.Caller, path string, body []byte) (*sardinerock.Request, *forms.Completion, error) {
	parsed, err := forms.ParseCompletion(path, body)
	if err != nil {
		return nil, nil, err
	}
	t, err := d.Resolve(c, parsed.Model)
	if err != nil {
		return nil, nil, err
	}
	if parsed.MaxTokens > t.Model.MaxTokens {
		return nil, nil, forms.Refuse(sardinerock.CodeInvalidRequest, parsed.MaxTokenField,
			"the field %s is over the model's bound of %d", parsed.MaxTokenField, t.Model.MaxTokens)
	}
	if parsed.MaxTokens == 0 {
		parsed.MaxTokens = t.Model.MaxTokens
	}
	loaded := sardinerock.LoadedModel{Model: t.Model.Name, Version: t.Version, Adapter: t.Adapter}
	return &sardinerock.Request{
		ID:            rand.Text(),
		Caller:        c.Name,
		Key:           parsed.User,
		Path:          path,
		Model:         t.Model.Name,
		Version:       t.Version,
		Adapter:       t.Adapter,
		Method:        http.MethodPost,
		Body:          body,
		Idempotent:    true,
		PromptTokens:  sardinerock.PromptTokens(parsed.Prompt),
		MaxTokens:     parsed.MaxTokens,
		Prefixes:      sardinerock.PrefixHashes(loaded, parsed.Prompt),
		Fingerprint:   Fingerprint(loaded.Model, loaded.Version, loaded.Adapter, parsed.Prompt),
		ConfigVersion: d.Snapshot.Version,
	}, parsed, nil
}

// Fingerprint returns a hash that is equal for equal content, independent of the caller.
func Fingerprint(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		// The separator gives ("ab", "c") and ("a", "bc") different hashes.
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
