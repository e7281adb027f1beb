package htentry

import (
	"errors"

	"github.com/sirupsen/logrus"

	"hawthornturn/core/htmirror"
)

// errEarlierEra means that a response of the store is of an earlier era than one that this host
// knows of.
var errEarlierEra = errors.New("response of an earlier era of the store")

// StoreEra returns the newest era of the store that this host knows of, and a channel that is
// closed once it knows of a newer one. What was written in an earlier era may be lost and has to
// be written again.
func (e *Entry) StoreEra() (era int64, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.eraChanged == nil {
		e.eraChanged = make(chan struct{})
	}
	return e.mirror.Era(), e.eraChanged
}

// recordEra logs a change of the era since a position and tells those who wait for it, unless
// this host had read nothing at that position. The caller holds e.mu.
func (e *Entry) recordEra(before htmirror.Position) {
	era := e.mirror.Era()
	if era == before.Era || before == (htmirror.Position{}) {
		return
	}
	logrus.WithFields(logrus.Fields{"event": "store-era", "era": era, "before": before.Era}).
		Warn("newer era of the store: what it lacks stays in use for a limited time, until it is written again")
	e.recheckRollouts()
	if e.eraChanged != nil {
		close(e.eraChanged)
		e.eraChanged = nil
	}
}
