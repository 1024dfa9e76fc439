package dissemination

// maxAhead bounds the items reported as newer than the Source's.
const maxAhead = 64

// bucketsFor returns the digests of the keys that a subscriber sees.
func (s *Source) bucketsFor(sub *subscriber) *[digestBuckets]uint64 {
	if sub.keys == nil {
		return &s.store.buckets
	}
	var b [digestBuckets]uint64
	for key := range sub.keys {
		if e, ok := s.store.items[key]; ok && !e.item.Deleted {
			b[bucketOf(key)] += e.hash
		}
	}
	return &b
}

// compare answers with the content of buckets that differ, as many as fit in
// one chunk.
func (s *Source) compare(sub *subscriber, m *Compare) []Delivery {
	if m.Position != s.store.position || !s.store.whole() || len(m.BucketDigests) != digestBuckets {
		return nil
	}
	own := s.bucketsFor(sub)
	var differs [digestBuckets]bool
	for i := range own {
		differs[i] = own[i] != m.BucketDigests[i]
	}
	r := s.repair(sub, differs)
	if len(r.Buckets) == 0 {
		return nil
	}
	return []Delivery{{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Repair: r}}}
}

func (s *Source) repair(sub *subscriber, differs [digestBuckets]bool) *Repair {
	var content [digestBuckets][]Change
	var sizes [digestBuckets]int
	for e := s.store.oldest; e != nil; e = e.next {
		i := bucketOf(e.item.Key)
		if !differs[i] || e.item.Deleted || !sub.wants(e) {
			continue
		}
		content[i] = append(content[i], Change{Number: e.number, Item: e.item})
		sizes[i] += e.item.size()
	}
	r := &Repair{Position: s.store.position}
	size := 0
	for i, differs := range differs {
		if size += sizes[i]; !differs || size > s.opts.MaxBatchBytes && len(r.Buckets) > 0 {
			continue
		}
		r.Buckets = append(r.Buckets, uint16(i))
		r.Changes = append(r.Changes, content[i]...)
	}
	return r
}

// noteAhead remembers items that a subscriber holds at a newer version.
func (s *Source) noteAhead(items []KeyVersion) {
	for _, kv := range items {
		if held, ok := s.store.items[kv.Key]; ok && !kv.Version.Newer(held.item.Version) {
			continue
		}
		if known, ok := s.ahead[kv.Key]; ok && !kv.Version.Newer(known.Version) || !ok && len(s.ahead) >= maxAhead {
			continue
		}
		s.ahead[kv.Key] = kv
	}
}

// TakeNewerVersions returns the items that subscribers hold at a version newer than the
// store's, which happens after a root was replaced before its last changes
// spread. The root publishes each anew, or its deletion, at a newer version.
func (s *Source) TakeNewerVersions() []KeyVersion {
	var all []KeyVersion
	for key, kv := range s.ahead {
		if held, ok := s.store.items[key]; !ok || kv.Version.Newer(held.item.Version) {
			all = append(all, kv)
		}
	}
	clear(s.ahead)
	sortKeyVersions(all)
	return all
}

// applyRepair makes the named buckets equal to the Source's, but for items that
// are newer here, which it returns.
func (s *Store) applyRepair(r *Repair) (adopted []Item, ahead []KeyVersion) {
	inBucket := map[int]bool{}
	for _, b := range r.Buckets {
		inBucket[int(b)] = true
	}
	sent := make(map[string]bool, len(r.Changes))
	for _, c := range r.Changes {
		sent[c.Item.Key] = true
		if !inBucket[bucketOf(c.Item.Key)] {
			continue
		}
		e, ok := s.items[c.Item.Key]
		switch {
		case !ok || c.Item.Version.Newer(e.item.Version):
			s.put(c)
			adopted = append(adopted, c.Item)
		case e.item.Version.Newer(c.Item.Version):
			ahead = append(ahead, KeyVersion{Key: c.Item.Key, Version: e.item.Version})
		case e.hash != c.Item.hash():
			s.set(e, c)
			adopted = append(adopted, c.Item)
		}
	}
	return append(adopted, s.removeUnsent(inBucket, sent)...), ahead
}

// removeUnsent removes the live keys of some buckets that the Source lacks.
func (s *Store) removeUnsent(inBucket map[int]bool, sent map[string]bool) []Item {
	var gone []Item
	for key, e := range s.items {
		if e.item.Deleted || sent[key] || !inBucket[bucketOf(key)] {
			continue
		}
		gone = append(gone, Item{Key: key, Version: e.item.Version, Deleted: true})
		s.remove(e)
	}
	sortItems(gone)
	return gone
}
