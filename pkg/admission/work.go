package admission

import "time"

const (
	// deadlineQuantum is the deadline resolution of a workIndex.
	deadlineQuantum = 16 * time.Millisecond
	// deadlineBits is the number of deadline bits in a work key.
	deadlineBits = 40
	// maxWorkKey is the largest key of a workIndex.
	maxWorkKey = uint64(MaxPriority+1) << deadlineBits
)

// workIndex is a sparse Fenwick tree that sums the tokens of all items up to a
// position in a plan's order, in time logarithmic in the size of the key space.
type workIndex map[uint64]int64

// workKey returns the position of an item in its plan's order, lowest first.
func workKey(i Item) uint64 {
	class := uint64(MaxPriority - clampPriority(i.Priority))
	last := uint64(1)<<deadlineBits - 1
	quanta := last
	if !i.Deadline.IsZero() {
		quanta = min(uint64(max(i.Deadline.UnixMilli(), 0))/uint64(deadlineQuantum.Milliseconds()), last)
	}
	return class<<deadlineBits | quanta + 1
}

func (w workIndex) add(key uint64, tokens int64) {
	for ; key <= maxWorkKey; key += key & -key {
		w[key] += tokens
		if w[key] == 0 {
			delete(w, key)
		}
	}
}

// upTo returns the sum of the tokens of all keys up to and including key.
func (w workIndex) upTo(key uint64) int64 {
	var sum int64
	for ; key > 0; key -= key & -key {
		sum += w[key]
	}
	return sum
}
