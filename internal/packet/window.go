package packet

// windowBits is how far behind the newest sequence number an envelope may be.
// Sprayed packets arrive out of order by far less.
const windowBits = 4096

// window is a sliding replay window as in RFC 4303, section 3.4.3.
type window struct {
	newest uint64
	bits   [windowBits / 64]uint64
}

// accept reports whether sequence is new, and remembers it.
func (w *window) accept(sequence uint64) bool {
	if sequence == 0 {
		return false
	}
	if sequence > w.newest {
		w.advance(sequence)
		return true
	}
	if w.newest-sequence >= windowBits {
		return false
	}
	word, bit := w.slot(sequence)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// advance moves the window up to sequence and clears what it uncovers.
func (w *window) advance(sequence uint64) {
	if sequence-w.newest >= windowBits {
		w.bits = [windowBits / 64]uint64{}
	} else {
		for s := w.newest + 1; s < sequence; s++ {
			word, bit := w.slot(s)
			w.bits[word] &^= bit
		}
	}
	w.newest = sequence
	word, bit := w.slot(sequence)
	w.bits[word] |= bit
}

func (w *window) slot(sequence uint64) (word int, bit uint64) {
	i := sequence % windowBits
	return int(i / 64), 1 << (i % 64)
}
