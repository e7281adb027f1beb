package htpath

import "io"

// ReleasingBody is a body that keeps something, such as a request's context, until it is
// closed.
type ReleasingBody struct {
	io.Reader
	io.Closer
	Release func()
}

// Close implements io.Closer.
func (b *ReleasingBody) Close() error {
	err := b.Closer.Close()
	b.Release()
	return err
}
