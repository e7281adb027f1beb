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

// Item is a resource with its version. The version is 0 if the table service is
// down, because versions are kept only there.
type Item[T htresource.Resource] struct {
	Version  uint64 `json:"version" cbor:"version"`
	Resource T      `json:"resource" cbor:"resource"`
}

// List is the answer to a list of one kind.
type List[T htresource.Resource] struct {
	Revision uint64    `json:"revision" cbor:"revision"`
	Items    []Item[T] `json:"items" cbor:"items"`
}

// mount adds the paths of one kind.
func mount[T htresource.Resource](a *API, mux *http.ServeMux, kind htresource.Kind) {
	path := "/v1/" + string(kind)
	a.handle(mux, "GET "+path, htsettings.RoleReader, func(r *http.Request) (answer, error) {
		return list[T](r.Context(), a)
	})
	a.handle(mux, "GET "+path+"/{name}", htsettings.RoleReader, func(r *http.Request) (answer, error) {
		return get(r.Context(), a, kind, r.PathValue("name"))
	})
	a.handle(mux, "PUT "+path+"/{name}", htsettings.RoleWriter, func(r *http.Request) (answer, error) {
		return put[T](r, a)
	})
	a.handle(mux, "DELETE "+path+"/{name}", htsettings.RoleWriter, func(r *http.Request) (answer, error) {
		expect, err := expectation(r)
		if err != nil {
			return answer{}, err
		}
		result, err := a.Writer.Delete(r.Context(), kind, r.PathValue("name"), expect)
		return answer{body: filled(result)}, err
	})
}

// read returns the declared state from the table or, while that is down, what
// this host has applied.
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

func list[T htresource.Resource](ctx context.Context, a *API) (answer, error) {
	state, source, err := a.read(ctx)
	if err != nil {
		return answer{}, err
	}
	l := List[T]{Revision: state.Set.Revision, Items: []Item[T]{}}
	for _, resource := range state.Set.All() {
		if r, ok := resource.(T); ok {
			l.Items = append(l.Items, Item[T]{Version: state.Versions[htresource.Key(r)], Resource: r})
		}
	}
	return answer{body: l, source: source}, nil
}

func get(ctx context.Context, a *API, kind htresource.Kind, name string) (answer, error) {
	state, source, err := a.read(ctx)
	if err != nil {
		return answer{}, err
	}
	resource, ok := state.Set.Find(kind, name)
	if !ok {
		return answer{}, &Problem{Status: http.StatusNotFound, Message: string(kind) + "/" + name + " is not declared"}
	}
	return answer{body: resource, version: state.Versions[htresource.Key(resource)], source: source}, nil
}

func put[T htresource.Resource](r *http.Request, a *API) (answer, error) {
	expect, err := expectation(r)
	if err != nil {
		return answer{}, err
	}
	resource, err := decode[T](r)
	if err != nil {
		return answer{}, err
	}
	if name := r.PathValue("name"); resource.ResourceName() != name {
		var l htfinding.List
		l.Addf("name", "must be %q as in the path, not %q", name, resource.ResourceName())
		return answer{}, l
	}
	result, err := a.Writer.Put(r.Context(), resource, expect)
	return answer{body: filled(result), version: result.Version}, err
}

// filled gives a result without changes an empty list instead of null.
func filled(result htconfig.Result) htconfig.Result {
	if result.Changes == nil {
		result.Changes = []htresource.Change{}
	}
	return result
}

// expectation reads the version that a change replaces from If-Match. Without it
// the resource must not exist yet, so that no author overwrites what it has not
// seen.
func expectation(r *http.Request) (htconfig.Precondition, error) {
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
