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

// ConflictError is the error of a change whose expected version is not the current
// one. Nothing was changed.
type ConflictError struct {
	Key     string // KIND/NAME, or empty for the whole set
	Current uint64 // version of the resource, or revision of the set; 0 if there is none
}

// Error implements error.
func (c *ConflictError) Error() string {
	place := c.Key
	if place == "" {
		place = "declared state"
	}
	return fmt.Sprintf("%s is at version %d", place, c.Current)
}

// Precondition is what the author of a change knows of the version it replaces.
type Precondition struct {
	Any     bool   // any version is replaced
	Version uint64 // the version to be replaced; 0 means that there is none yet
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

// Load returns the declared state in the table.
func (s *Store) Load(ctx context.Context) (*State, error) {
	s.mu.Lock()
	cached := s.cached
	s.mu.Unlock()
	if cached != nil {
		_, version, err := s.readHead(ctx)
		if err != nil {
			return nil, err
		}
		// The head changes with every transaction, so that the rest is unchanged
		// as long as the head is.
		if version == cached.headVersion {
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
	s.remember(state)
	return state, nil
}

// Put creates or replaces a resource. Putting what is already declared changes
// nothing and succeeds, so that an author whose answer was lost can send it again.
func (s *Store) Put(ctx context.Context, resource htresource.Resource, expect Precondition) (Result, error) {
	place := htresource.Key(resource)
	edit := func(state *State) (*htresource.Set, error) {
		current, ok := state.Set.Find(resource.Kind(), resource.ResourceName())
		if ok && htresource.Equal(current, resource) {
			return state.Set, nil
		}
		if !expect.Any && expect.Version != state.Versions[place] {
			return nil, &ConflictError{Key: place, Current: state.Versions[place]}
		}
		return state.Set.With(resource), nil
	}
	return s.changeOne(ctx, place, edit)
}

// Delete removes a resource.
func (s *Store) Delete(ctx context.Context, kind htresource.Kind, name string, expect Precondition) (Result, error) {
	place := string(kind) + "/" + name
	edit := func(state *State) (*htresource.Set, error) {
		version, ok := state.Versions[place]
		if !ok {
			return nil, fmt.Errorf("%s: %w", place, ErrNotFound)
		}
		if !expect.Any && expect.Version != version {
			return nil, &ConflictError{Key: place, Current: version}
		}
		return state.Set.Without(kind, name), nil
	}
	return s.changeOne(ctx, place, edit)
}

// Apply replaces the whole declared state. Resources that are not in set are
// deleted. Applying what is already declared changes nothing. A change by another
// author between read and write is a conflict, because the author of set has not
// seen it. With dryRun nothing is written.
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

// edit returns the set that follows a state.
type edit func(*State) (*htresource.Set, error)

// changeOne changes one resource. Changes of other resources meanwhile are no
// conflict, so it tries again after them until ctx ends. The random pauses keep
// writers on several hosts from colliding again at each attempt.
func (s *Store) changeOne(ctx context.Context, place string, e edit) (Result, error) {
	pause := firstPause
	for {
		result, state, err := s.change(ctx, e, false)
		if err == nil {
			result.Version = state.Versions[place]
		}
		if !errors.Is(err, httable.ErrConflict) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return Result{}, fmt.Errorf("%s: not written, too many other changes: %w", place, httable.ErrUnavailable)
		case <-time.After(rand.N(pause)):
			pause = min(2*pause, longestPause)
		}
	}
}

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
	version, err := s.settle(ctx, txn, state)
	if err != nil {
		return Result{}, nil, err
	}
	next := state.next(&set, changes, txn, version)
	if version != 0 {
		s.remember(next)
	}
	return Result{Revision: set.Revision, Changes: changes, set: &set}, next, nil
}

func (s *Store) remember(state *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached == nil || state.headVersion >= s.cached.headVersion {
		s.cached = state
	}
}

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
