package htapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htfinding"
	"hawthornturn/core/htresource"
	"hawthornturn/core/httable"
	"hawthornturn/io/htsettings"
)

// Item is a resource with its version. The version is 0 while the table service is
// down, because versions are stored only there.
type Item[T htresource.Resource] struct {
	Version  uint64 `json:"version" cbor:"version"`
	Resource T      `json:"resource" cbor:"resource"`
}

// List contains all resources of one kind.
type List[T htresource.Resource] struct {
	Revision uint64    `json:"revision" cbor:"revision"`
	Items    []Item[T] `json:"items" cbor:"items"`
}

// mount registers the routes of one kind.
func mount[T htresource.Resource](a *API, mux *http.ServeMux, kind htresource.Kind) {
	path := "/v1/" + string(kind)
	a.handle(mux, "GET "+path, htsettings.RoleReader, func(r *http.Request) (apiResponse, error) {
		return list[T](r.Context(), a)
	})
	a.handle(mux, "GET "+path+"/{name}", htsettings.RoleReader, func(r *http.Request) (apiResponse, error) {
		return get(r.Context(), a, kind, r.PathValue("name"))
	})
	a.handle(mux, "PUT "+path+"/{name}", htsettings.RoleWriter, func(r *http.Request) (apiResponse, error) {
		return put[T](r, a)
	})
	a.handle(mux, "DELETE "+path+"/{name}", htsettings.RoleWriter, func(r *http.Request) (apiResponse, error) {
		expect, err := precondition(r)
		if err != nil {
			return apiResponse{}, err
		}
		result, err := a.Writer.Delete(r.Context(), kind, r.PathValue("name"), expect)
		return apiResponse{body: withChangeList(result)}, err
	})
}

// read returns the declared state and its source: the table or, while the table service
// is down, the state that this host has applied.
func (a *API) read(ctx context.Context) (*htconfig.State, string, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	state, err := a.Store.Load(ctx)
	if err == nil {
		return state, sourceTable, nil
	}
	set := a.Follower.Current()
	down := errors.Is(err, httable.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded)
	if !down || set == nil {
		return nil, "", err
	}
	return &htconfig.State{Set: set}, sourceLocal, nil
}

func list[T htresource.Resource](ctx context.Context, a *API) (apiResponse, error) {
	state, source, err := a.read(ctx)
	if err != nil {
		return apiResponse{}, err
	}
	l := List[T]{Revision: state.Set.Revision, Items: []Item[T]{}}
	for _, resource := range state.Set.All() {
		if r, ok := resource.(T); ok {
			l.Items = append(l.Items, Item[T]{Version: state.Versions[htresource.Key(r)], Resource: r})
		}
	}
	return apiResponse{body: l, source: source}, nil
}

func get(ctx context.Context, a *API, kind htresource.Kind, name string) (apiResponse, error) {
	state, source, err := a.read(ctx)
	if err != nil {
		return apiResponse{}, err
	}
	resource, ok := state.Set.Find(kind, name)
	if !ok {
		return apiResponse{}, &Problem{Status: http.StatusNotFound, Message: string(kind) + "/" + name + " is not declared"}
	}
	return apiResponse{body: resource, version: state.Versions[htresource.Key(resource)], source: source}, nil
}

func put[T htresource.Resource](r *http.Request, a *API) (apiResponse, error) {
	expect, err := precondition(r)
	if err != nil {
		return apiResponse{}, err
	}
	resource, err := decode[T](a, r)
	if err != nil {
		return apiResponse{}, err
	}
	if name := r.PathValue("name"); resource.ResourceName() != name {
		var l htfinding.List
		l.Addf("name", "must be %q as in the path, not %q", name, resource.ResourceName())
		return apiResponse{}, l
	}
	result, err := a.Writer.Put(r.Context(), resource, expect)
	return apiResponse{body: withChangeList(result), version: result.Version}, err
}

// withChangeList replaces a nil list of changes by an empty one, which JSON encodes as []
// instead of null.
func withChangeList(result htconfig.Result) htconfig.Result {
	if result.Changes == nil {
		result.Changes = []htresource.Change{}
	}
	return result
}

// precondition returns the precondition that If-Match states for a change. Without the
// field, a PUT must create the resource or be identical to the stored one, so that no
// operator overwrites a version that they have not read.
func precondition(r *http.Request) (htconfig.Precondition, error) {
	match := r.Header.Get("If-Match")
	switch match {
	case "":
		return htconfig.Precondition{}, nil
	case "*":
		return htconfig.Precondition{Any: true}, nil
	}
	version, err := parseETag(match)
	if err != nil {
		return htconfig.Precondition{}, &Problem{Status: http.StatusBadRequest, Message: "If-Match must be one ETag or *"}
	}
	return htconfig.Precondition{Version: version}, nil
}

func formatETag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseETag(tag string) (uint64, error) {
	inner, ok := strings.CutPrefix(tag, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	if !ok || !closed {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(inner, 10, 64)
}
