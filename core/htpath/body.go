package htpath

import "io"

// ReleasingBody is a body that calls Release when it is closed, for example to cancel
// the context that the body is read under.
type ReleasingBody struct {
	io.Reader
	io.Closer
	Release func()
}

// Close implements io.Closer. It closes the body and then calls Release.
func (b *ReleasingBody) Close() error {
	err := b.Closer.Close()
	b.Release()
	return err
}
