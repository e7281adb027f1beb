package htconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hawthornturn/core/htresource"
	"hawthornturn/core/httable"
)

// ErrNotFound means that the resource is not declared.
var ErrNotFound = errors.New("not declared")

// ConflictError is returned for a change whose expected version is not the current
// one. Nothing was changed. Here and in Precondition and Result, the version of a
// resource is the revision at which it last changed, not the table version of its row.
// A change of the whole set expects a revision instead of a version.
type ConflictError struct {
	Key     string // KIND/NAME, or empty for the whole set
	Current uint64 // version of the resource, or revision of the set; 0 if there is none
}

// Error implements error.
func (c *ConflictError) Error() string {
	key := c.Key
	if key == "" {
		key = "declared state"
	}
	return fmt.Sprintf("%s is at version %d", key, c.Current)
}

// Precondition states which version of a resource, or which revision of the whole set,
// a change may replace.
type Precondition struct {
	Any     bool   // replace any version or revision
	Version uint64 // expected current version or revision if Any is false; 0 means that none exists
}

// Result is the outcome of an accepted change.
type Result struct {
	Revision uint64              `json:"revision" cbor:"revision"`
	Version  uint64              `json:"-" cbor:"-"` // version of the resource after the change; 0 for a whole set
	Changes  []htresource.Change `json:"changes" cbor:"changes"`

	set *htresource.Set
}

// Store reads and writes the declared state in the table service.
type Store struct {
	table httable.Table
	newID func() string

	mu     sync.Mutex
	cached *State
}

// NewStore returns a Store. newID returns unique transaction ids.
func NewStore(table httable.Table, newID func() string) *Store {
	return &Store{table: table, newID: newID}
}

// Head returns the revision of the declared state in the table.
func (s *Store) Head(ctx context.Context) (uint64, error) {
	head, _, err := s.readHead(ctx)
	return head.Revision, err
}

// Load returns the declared state in the table. It scans the table only if the
// head has changed since the cached state was read.
func (s *Store) Load(ctx context.Context) (*State, error) {
	s.mu.Lock()
	cached := s.cached
	s.mu.Unlock()
	if cached != nil {
		_, tableVersion, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		// Every transaction changes the head, so an unchanged head means that all
		// other rows are unchanged.
		if tableVersion == cached.headTableVersion {
			return cached, nil
		}
	}
	snapshot, err := s.table.Scan(ctx, rowPrefix)
	if err != nil {
		return nil, fmt.Errorf("read declared state: %w", err)
	}
	state, err := newState(snapshot.Rows)
	if err != nil {
		return nil, fmt.Errorf("read declared state: %w", err)
	}
	s.setCached(state)
	return state, nil
}

// Put creates or replaces a resource. It succeeds without a change if an equal
// resource is already declared, so that a client can retry after a lost response.
func (s *Store) Put(ctx context.Context, resource htresource.Resource, expect Precondition) (Result, error) {
	key := htresource.Key(resource)
	edit := func(state *State) (*htresource.Set, error) {
		current, ok := state.Set.Find(resource.Kind(), resource.ResourceName())
		if ok && htresource.Equal(current, resource) {
			return state.Set, nil
		}
		if !expect.Any && expect.Version != state.Versions[key] {
			return nil, &ConflictError{Key: key, Current: state.Versions[key]}
		}
		return state.Set.With(resource), nil
	}
	return s.changeResource(ctx, key, edit)
}

// Delete removes a resource. It returns ErrNotFound if the resource is not declared.
func (s *Store) Delete(ctx context.Context, kind htresource.Kind, name string, expect Precondition) (Result, error) {
	key := string(kind) + "/" + name
	edit := func(state *State) (*htresource.Set, error) {
		version, ok := state.Versions[key]
		if !ok {
			return nil, fmt.Errorf("%s: %w", key, ErrNotFound)
		}
		if !expect.Any && expect.Version != version {
			return nil, &ConflictError{Key: key, Current: version}
		}
		return state.Set.Without(kind, name), nil
	}
	return s.changeResource(ctx, key, edit)
}

// Apply replaces the whole declared state and deletes resources that are not in
// set. Applying an equal state changes nothing. A concurrent change between read
// and write is a conflict, because set does not take it into account. With dryRun
// nothing is written.
func (s *Store) Apply(ctx context.Context, set *htresource.Set, expect Precondition, dryRun bool) (Result, error) {
	edit := func(state *State) (*htresource.Set, error) {
		unchanged := len(htresource.Diff(state.Set, set)) == 0
		if !unchanged && !expect.Any && expect.Version != state.Set.Revision {
			return nil, &ConflictError{Current: state.Set.Revision}
		}
		return set, nil
	}
	result, _, err := s.change(ctx, edit, dryRun)
	if errors.Is(err, httable.ErrConflict) {
		current, headErr := s.Head(ctx)
		if headErr != nil {
			return Result{}, headErr
		}
		return Result{}, &ConflictError{Current: current}
	}
	return result, err
}

// edit computes the new set from the current state.
type edit func(*State) (*htresource.Set, error)

// changeResource changes one resource. Concurrent changes of other resources are not
// a conflict for the caller, so it retries after them until ctx ends. The random
// backoff keeps writers on several hosts from conflicting again at each attempt.
func (s *Store) changeResource(ctx context.Context, key string, e edit) (Result, error) {
	backoff := minBackoff
	for {
		result, state, err := s.change(ctx, e, false)
		if err == nil {
			result.Version = state.Versions[key]
		}
		if !errors.Is(err, httable.ErrConflict) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, fmt.Errorf("%s: not written because of too many concurrent changes: %w", key, httable.ErrUnavailable)
		case <-time.After(rand.N(backoff)):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// change computes the new set with e and writes it, unless it equals the current one
// or dryRun is set. It returns the result and the state that the result refers to.
func (s *Store) change(ctx context.Context, e edit, dryRun bool) (Result, *State, error) {
	state, err := s.Load(ctx)
	if err != nil {
		return Result{}, nil, err
	}
	target, err := e(state)
	if err != nil {
		return Result{}, nil, err
	}
	changes := htresource.Diff(state.Set, target)
	if len(changes) == 0 {
		return Result{Revision: state.Set.Revision, set: state.Set}, state, nil
	}
	if err := target.Check().Err(); err != nil {
		return Result{}, nil, err
	}
	if dryRun {
		return Result{Revision: state.Set.Revision, Changes: changes, set: state.Set}, state, nil
	}
	set := *target
	set.Revision = state.Set.Revision + 1
	set.Sort()
	txn, err := state.txn(s.newID(), &set, changes)
	if err != nil {
		return Result{}, nil, err
	}
	tableVersion, err := s.commitUntilKnown(ctx, txn, state)
	if err != nil {
		return Result{}, nil, err
	}
	next := state.next(&set, changes, txn, tableVersion)
	if tableVersion != 0 {
		s.setCached(next)
	}
	return Result{Revision: set.Revision, Changes: changes, set: &set}, next, nil
}

// setCached caches state unless a newer one is cached.
func (s *Store) setCached(state *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached == nil || state.headTableVersion >= s.cached.headTableVersion {
		s.cached = state
	}
}

// readHead returns the head row and its table version, which is 0 if the row does
// not exist.
func (s *Store) readHead(ctx context.Context) (headRow, uint64, error) {
	var head headRow
	snapshot, err := s.table.Read(ctx, headKey)
	if err != nil {
		return head, 0, fmt.Errorf("read %s: %w", headKey, err)
	}
	for _, row := range snapshot.Rows {
		if row.Key != headKey {
			continue
		}
		if err := json.Unmarshal(row.Value, &head); err != nil {
			return head, 0, fmt.Errorf("read %s: %w", headKey, err)
		}
		return head, row.Version, nil
	}
	return head, 0, nil
}
