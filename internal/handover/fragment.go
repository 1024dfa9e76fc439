package handover

// fragment is an item, or a part of one whose body is too long for a message.
type fragment struct {
	Item
	// continues is set if the next fragment continues the body.
	continues bool
}

// split divides the items with long bodies into fragments of at most maxBodyBytes. The
// first fragment of an item has its socket.
func split(bundle Bundle) []fragment {
	var out []fragment
	for _, item := range bundle {
		for len(item.Body) > maxBodyBytes {
			head := item
			head.Body = item.Body[:maxBodyBytes]
			out = append(out, fragment{Item: head, continues: true})
			item.Body, item.Socket = item.Body[maxBodyBytes:], nil
		}
		out = append(out, fragment{Item: item})
	}
	return out
}

// batchLength returns the number of leading fragments that fit into one message, at
// least one.
func batchLength(fragments []fragment) int {
	size := 0
	for i, f := range fragments {
		size += len(f.Body)
		if i > 0 && (i == maxItems || size > maxBodyBytes) {
			return i
		}
	}
	return len(fragments)
}

func itemsOf(fragments []fragment) Bundle {
	out := make(Bundle, len(fragments))
	for i, f := range fragments {
		out[i] = f.Item
	}
	return out
}

func itemHeaders(fragments []fragment) []itemHeader {
	out := make([]itemHeader, len(fragments))
	for i, f := range fragments {
		out[i] = itemHeader{
			Role: f.Role, Name: f.Name, Kind: f.Kind, Body: f.Body,
			HasSocket: f.Socket != nil, Continues: f.continues,
		}
	}
	return out
}

// joiner joins received fragments to items.
type joiner struct {
	bundle    Bundle
	continues bool // the next fragment continues the last item of bundle
}

// add adds the items of a message.
func (j *joiner) add(headers []itemHeader, items Bundle) {
	for i, item := range items {
		if j.continues {
			last := &j.bundle[len(j.bundle)-1]
			last.Body = append(last.Body, item.Body...)
		} else {
			j.bundle = append(j.bundle, item)
		}
		j.continues = headers[i].Continues
	}
}
