package site

import "testing"

// TestFreeAddressesAreNotHandedOutTwice asks for the addresses of several processes
// one after the other, before any of them listens.
func TestFreeAddressesAreNotHandedOutTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		addresses, err := FreeAddresses(4)
		if err != nil {
			t.Fatal(err)
		}
		for _, address := range addresses {
			if seen[address] {
				t.Fatalf("%s is handed out twice", address)
			}
			seen[address] = true
		}
	}
}

// TestBlocksAreApart claims two blocks, as two test processes do.
func TestBlocksAreApart(t *testing.T) {
	var a, b block
	for _, own := range []*block{&a, &b} {
		if _, err := own.take(); err != nil {
			t.Fatal(err)
		}
		defer own.lock.Close()
	}
	if a.first == b.first {
		t.Errorf("both have the ports from %d", a.first)
	}
}
