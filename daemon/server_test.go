package daemon

import "testing"

func TestMaxConnectionsReservesDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 8192, 4100: 2340, 100: 64, 1 << 20: 8192} {
		if got := maxConnections(descriptors); got != want {
			t.Errorf("of %d descriptors callers may take %d, and not %d", descriptors, got, want)
		}
	}
}
