package packet

// windowBits is the size of the replay window in sequence numbers. Sprayed
// packets are reordered by far less.
const windowBits = 4096

// window is a sliding replay window as in RFC 4303, section 3.4.3.
type window struct {
	highest uint64
	bits    [windowBits / 64]uint64
}

// accept records sequence and reports whether it is new.
func (w *window) accept(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.highest {
		w.advance(sequence)
		return true
	}
	if w.highest-sequence >= windowBits {
		return false
	}
	word, bit := w.bitOf(sequence)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance moves the window up to sequence and clears the bits of the skipped
// sequence numbers.
func (w *window) advance(sequence uint64) {
	if sequence-w.highest >= windowBits {
		w.bits = [windowBits / 64]uint64{}
	} else {
		for s := w.highest + 1; s < sequence; s++ {
			word, bit := w.bitOf(s)
			w.bits[word] &^= bit
		}
	}
	w.highest = sequence
	word, bit := w.bitOf(sequence)
	w.bits[word] |= bit
}

func (w *window) bitOf(sequence uint64) (word int, bit uint64) {
	i := sequence % windowBits
	return int(i / 64), 1 << (i % 64)
}
