package site

import "testing"

// TestFreeAddressesAreUnique requests the addresses of several processes one after
// the other, before any of them listens.
func TestFreeAddressesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		addresses, err := FreeAddresses(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Fatalf("%s is allocated twice", address)
			}
			seen[address] = true
		}
	}
}

// TestPortBlocksAreDistinct claims two blocks, as two test processes do.
func TestPortBlocksAreDistinct(t *testing.T) {
	var a, b portBlock
	for _, claimed := range []*portBlock{&a, &b} {
		if _, err := claimed.nextPort(); err != nil {
			t.Fatal(err)
		}
		defer claimed.lock.Close()
	}
	if a.first == b.first {
		t.Errorf("both blocks start at port %d", a.first)
	}
}
