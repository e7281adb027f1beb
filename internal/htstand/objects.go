package htstand

import (
	"bytes"
	"sync"
)

// objectStore stores byte strings by name in memory.
type objectStore struct {
	mu     sync.Mutex
	values map[string][]byte
}

func newObjectStore() *objectStore {
	return &objectStore{values: map[string][]byte{}}
}

func (o *objectStore) put(name string, value []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.values[name] = bytes.Clone(value)
}

func (o *objectStore) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.values[name]
	return value, ok
}
