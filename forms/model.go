package forms

import "time"

// Model is the model object of the API.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// List is the list object of the API.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
}

// NewModel returns the model object for a name, which includes the adapter if there is one.
func NewModel(name string, since time.Time) Model {
	return Model{ID: name, Object: "model", Created: since.Unix(), OwnedBy: "sardinerock"}
}
