package keyvalue

import "context"

// newConnectionKey marks a context in which a call uses a new connection.
type newConnectionKey struct{}

// OnNewConnection returns a context whose calls use a new connection, where the store's client
// heeds it: an idle one may have gone silent, so that its silence says nothing of the store.
func OnNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// WantsNewConnection reports whether calls in a context are to use a new connection.
func WantsNewConnection(ctx context.Context) bool {
	wanted, _ := ctx.Value(newConnectionKey{}).(bool)
	return wanted
}
