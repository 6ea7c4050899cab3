package forms

import "time"

// Model is a model in the usual form.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// List is a list in the usual form.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
}

// NewModel names a model, with its adapter if any, that a caller may use.
func NewModel(name string, since time.Time) Model {
	return Model{ID: name, Object: "model", Created: since.Unix(), OwnedBy: "sardinerock"}
}
