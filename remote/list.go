package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/sardinerock/sardinerock"
)

// Instances is a client of the platform's instance list.
type Instances struct {
	Sender
}

type instancesReply struct {
	Instances []sardinerock.Instance `json:"instances"`
}

// Instances implements sardinerock.InstanceList.
func (l *Instances) Instances(ctx context.Context) ([]sardinerock.Instance, error) {
	answer, err := call[instancesReply](ctx, &l.Sender, http.MethodGet, "/instances", nil)
	return answer.Instances, err
}

// Put adds or replaces an instance, as the platform does when it starts or stops one. Only tests call it.
func (l *Instances) Put(ctx context.Context, i sardinerock.Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return err
	}
	_, err = call[struct{}](ctx, &l.Sender, http.MethodPut, "/instances/"+url.PathEscape(i.ID), body)
	return err
}

// Remove removes an instance from the list. Only tests call it.
func (l *Instances) Remove(ctx context.Context, id string) error {
	_, err := call[struct{}](ctx, &l.Sender, http.MethodDelete, "/instances/"+url.PathEscape(id), nil)
	return err
}

// Weights is a client of the platform's weight store.
type Weights struct {
	Sender
}

// Fetch returns once the store has delivered the weights of the model.
func (s *Weights) Fetch(ctx context.Context, target sardinerock.LoadedModel) error {
	body, err := json.Marshal(target)
	if err != nil {
		return err
	}
	_, err = call[struct{}](ctx, &s.Sender, http.MethodPost, "/fetch", body)
	return err
}
