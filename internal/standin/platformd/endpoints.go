package platformd

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"chicoryline/internal/platform"
)

func getRow(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	return services.Get(ctx, r.URL.Query().Get("key"))
}

func listRows(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	return services.List(ctx, r.URL.Query().Get("prefix"))
}

func compareAndSet(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	body, err := decode[platform.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	return services.CompareAndSet(ctx, body.Key, body.Version, body.Value, body.RequestID)
}

func deleteRow(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	body, err := decode[platform.WriteRequest](r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, services.Delete(ctx, body.Key, body.Version, body.RequestID)
}

func putObject(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	body, err := decode[platform.ObjectBody](r)
	if err != nil {
		return nil, err
	}
	name, err := services.PutObject(ctx, body.Data)
	return platform.ObjectBody{Name: name}, err
}

func getObject(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	data, err := services.Object(ctx, r.URL.Query().Get("name"))
	return platform.ObjectBody{Data: data}, err
}

func getGroups(ctx context.Context, services platform.Services, _ *http.Request) (any, error) {
	return services.Groups(ctx)
}

func getVMs(ctx context.Context, services platform.Services, _ *http.Request) (any, error) {
	return services.VMs(ctx)
}

func register(ctx context.Context, services platform.Services, r *http.Request) (any, error) {
	vm, err := decode[platform.VM](r)
	if err != nil {
		return nil, err
	}
	return struct{}{}, services.Register(ctx, vm)
}

func decode[T any](r *http.Request) (T, error) {
	var body T
	err := json.NewDecoder(r.Body).Decode(&body)
	return body, errors.Annotate(err, "body")
}
