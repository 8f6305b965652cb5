package platformd

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"chicoryline/internal/services"
)

func getRow(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	return s.Get(ctx, r.URL.Query().Get("key"))
}

func listRows(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	return s.List(ctx, r.URL.Query().Get("prefix"))
}

func compareAndSet(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	body, err := decode[services.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	return s.CompareAndSet(ctx, body.Key, body.Version, body.Value, body.RequestID)
}

func deleteRow(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	body, err := decode[services.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.Delete(ctx, body.Key, body.Version, body.RequestID)
}

func putObject(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	body, err := decode[services.ObjectBody](r)
	if err != nil {
		return nil, err
	}
	name, err := s.PutObject(ctx, body.Data)
	return services.ObjectBody{Name: name}, err
}

func getObject(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	data, err := s.Object(ctx, r.URL.Query().Get("name"))
	return services.ObjectBody{Data: data}, err
}

func getGroups(ctx context.Context, s services.Services, _ *http.Request) (any, error) {
	return s.Groups(ctx)
}

func getVMs(ctx context.Context, s services.Services, _ *http.Request) (any, error) {
	return s.VMs(ctx)
}

func register(ctx context.Context, s services.Services, r *http.Request) (any, error) {
	vm, err := decode[services.VM](r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, s.Register(ctx, vm)
}

func decode[T any](r *http.Request) (T, error) {
	var body T
	err := json.NewDecoder(r.Body).Decode(&body)
	return body, errors.Annotate(err, "body")
}
