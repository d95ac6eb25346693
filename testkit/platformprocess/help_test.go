package platformprocess

import (
	"context"
	"fmt"
	"testing"
	"time"
)

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), d)
}

// errNotYet describes the observed state while a condition isn't met.
func errNotYet(seen any) error { return fmt.Errorf("not yet: %v", seen) }
