package htconfig

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htresource"
)

// Timeouts of a change: of writing it to the table, and of pushing it to the other
// hosts after it was accepted.
const (
	WriteTimeout = 5 * time.Second
	PushTimeout  = time.Second
)

// Writer writes changes to the Store. It applies an accepted change on this host and
// pushes it to the other hosts before it returns the result.
type Writer struct {
	store     *Store
	follower  *Follower
	snapshots Snapshots
}

// NewWriter returns a Writer.
func NewWriter(store *Store, follower *Follower, snapshots Snapshots) *Writer {
	return &Writer{store: store, follower: follower, snapshots: snapshots}
}

// Put calls Store.Put and distributes the result.
func (w *Writer) Put(ctx context.Context, resource htresource.Resource, expect Precondition) (Result, error) {
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Put(ctx, resource, expect)
	})
}

// Delete calls Store.Delete and distributes the result.
func (w *Writer) Delete(ctx context.Context, kind htresource.Kind, name string, expect Precondition) (Result, error) {
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Delete(ctx, kind, name, expect)
	})
}

// Apply calls Store.Apply and, unless dryRun is set, distributes the result.
func (w *Writer) Apply(ctx context.Context, set *htresource.Set, expect Precondition, dryRun bool) (Result, error) {
	if dryRun {
		return w.store.Apply(ctx, set, expect, dryRun)
	}
	return w.write(ctx, func(ctx context.Context) (Result, error) {
		return w.store.Apply(ctx, set, expect, dryRun)
	})
}

// write completes a change even if the operator's connection closes: if it stopped
// before the result was known, an accepted change would not be pushed to the hosts.
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
			Warn("configuration push failed for some hosts; they will fetch it")
	}
	return result, nil
}
