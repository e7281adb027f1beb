package htconfig

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htresource"
)

// Timings of an accepted change.
const (
	WriteTimeout = 5 * time.Second
	PushTimeout  = time.Second
)

// Writer accepts changes. An accepted change is applied on this host and pushed
// to the others before it is answered.
type Writer struct {
	store     *Store
	follower  *Follower
	snapshots Snapshots
}

// NewWriter returns a Writer.
func NewWriter(store *Store, follower *Follower, snapshots Snapshots) *Writer {
	return &Writer{store: store, follower: follower, snapshots: snapshots}
}

// Put is Store.Put with spreading.
func (w *Writer) Put(ctx context.Context, resource htresource.Resource, expect Precondition) (Result, error) {
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Put(ctx, resource, expect)
	})
}

// Delete is Store.Delete with spreading.
func (w *Writer) Delete(ctx context.Context, kind htresource.Kind, name string, expect Precondition) (Result, error) {
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Delete(ctx, kind, name, expect)
	})
}

// Apply is Store.Apply with spreading.
func (w *Writer) Apply(ctx context.Context, set *htresource.Set, expect Precondition, dryRun bool) (Result, error) {
	if dryRun {
		return w.store.Apply(ctx, set, expect, dryRun)
	}
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Apply(ctx, set, expect, dryRun)
	})
}

// write runs a change to its end even if the operator disconnects, because a
// result that nobody reads back would leave the change accepted but not spread.
func (w *Writer) write(ctx context.Context, change func(context.Context) (Result, error)) (Result, error) {
	ctx = context.WithoutCancel(ctx)
	writeCtx, cancel := context.WithTimeout(ctx, WriteTimeout)
	defer cancel()
	result, err := change(writeCtx)
	if err != nil {
		return Result{}, err
	}
	w.follower.accept(result.set)
	if len(result.Changes) == 0 {
		return result, nil
	}
	pushCtx, cancelPush := context.WithTimeout(ctx, PushTimeout)
	defer cancelPush()
	if err := w.snapshots.Push(pushCtx, result.set); err != nil {
		logrus.WithFields(logrus.Fields{"event": "config-push-incomplete", "revision": result.Revision, "error": err}).
			Warn("some hosts did not take the pushed configuration; they will fetch it")
	}
	return result, nil
}
