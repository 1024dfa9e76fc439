package dissemination

// maxNewerVersions bounds the items that are recorded or reported as newer than
// the Source's.
const maxNewerVersions = 64

// bucketDigestsFor returns the bucket digests of a subscriber's keys.
func (s *Source) bucketDigestsFor(sub *subscriber) *[digestBuckets]uint64 {
	if sub.keys == nil {
		return &s.store.bucketDigests
	}
	var b [digestBuckets]uint64
	for key := range sub.keys {
		if e, ok := s.store.items[key]; ok && !e.item.Deleted {
			b[bucketOf(key)] += e.hash
		}
	}
	return &b
}

// handleCompare returns a Repair of the mismatched buckets, as many as fit in
// SourceOptions.MaxBatchBytes.
func (s *Source) handleCompare(sub *subscriber, m *Compare) []Delivery {
	if m.Position != s.store.resumePosition || !s.store.isComplete() || len(m.BucketDigests) != digestBuckets {
		return nil
	}
	digests := s.bucketDigestsFor(sub)
	var mismatched [digestBuckets]bool
	for i := range digests {
		mismatched[i] = digests[i] != m.BucketDigests[i]
	}
	r := s.buildRepair(sub, mismatched)
	if len(r.Buckets) == 0 {
		return nil
	}
	return []Delivery{{Peer: sub.peer, Message: DownstreamMessage{Session: sub.session, Repair: r}}}
}

func (s *Source) buildRepair(sub *subscriber, mismatched [digestBuckets]bool) *Repair {
	var content [digestBuckets][]Change
	var sizes [digestBuckets]int
	for e := s.store.oldest; e != nil; e = e.next {
		i := bucketOf(e.item.Key)
		if !mismatched[i] || e.item.Deleted || !sub.needs(e) {
			continue
		}
		content[i] = append(content[i], Change{Number: e.number, Item: e.item})
		sizes[i] += e.item.encodedSize()
	}
	r := &Repair{Position: s.store.resumePosition}
	size := 0
	for i, isMismatched := range mismatched {
		if size += sizes[i]; !isMismatched || size > s.opts.MaxBatchBytes && len(r.Buckets) > 0 {
			continue
		}
		r.Buckets = append(r.Buckets, uint16(i))
		r.Changes = append(r.Changes, content[i]...)
	}
	return r
}

// recordNewerVersions records items that a subscriber has at a newer version than
// the store.
func (s *Source) recordNewerVersions(items []KeyVersion) {
	for _, kv := range items {
		if stored, ok := s.store.items[kv.Key]; ok && !kv.Version.Newer(stored.item.Version) {
			continue
		}
		if recorded, ok := s.newerVersions[kv.Key]; ok && !kv.Version.Newer(recorded.Version) || !ok && len(s.newerVersions) >= maxNewerVersions {
			continue
		}
		s.newerVersions[kv.Key] = kv
	}
}

// TakeNewerVersions returns and clears the recorded items that subscribers have at a
// newer version than the store. They exist if a root was replaced before its last
// changes reached the next root. The new root must publish each of these keys, or
// its deletion, at a still newer version.
func (s *Source) TakeNewerVersions() []KeyVersion {
	var all []KeyVersion
	for key, kv := range s.newerVersions {
		if stored, ok := s.store.items[key]; !ok || kv.Version.Newer(stored.item.Version) {
			all = append(all, kv)
		}
	}
	clear(s.newerVersions)
	sortKeyVersions(all)
	return all
}

// applyRepair makes the repaired buckets equal to the Source's, except for items
// that are newer in s. It returns the changed items and the newer versions.
func (s *Store) applyRepair(r *Repair) (changed []Item, newer []KeyVersion) {
	inBucket := map[int]bool{}
	for _, b := range r.Buckets {
		inBucket[int(b)] = true
	}
	transferred := make(map[string]bool, len(r.Changes))
	for _, c := range r.Changes {
		transferred[c.Item.Key] = true
		if !inBucket[bucketOf(c.Item.Key)] {
			continue
		}
		e, ok := s.items[c.Item.Key]
		switch {
		case !ok || c.Item.Version.Newer(e.item.Version):
			s.put(c)
			changed = append(changed, c.Item)
		case e.item.Version.Newer(c.Item.Version):
			newer = append(newer, KeyVersion{Key: c.Item.Key, Version: e.item.Version})
		case e.hash != c.Item.hash():
			s.replace(e, c)
			changed = append(changed, c.Item)
		}
	}
	return append(changed, s.removeMissing(inBucket, transferred)...), newer
}

// removeMissing removes the items of the given buckets that are not among the
// transferred keys, and returns them as deleted items.
func (s *Store) removeMissing(inBucket map[int]bool, transferred map[string]bool) []Item {
	var removed []Item
	for key, e := range s.items {
		if e.item.Deleted || transferred[key] || !inBucket[bucketOf(key)] {
			continue
		}
		removed = append(removed, Item{Key: key, Version: e.item.Version, Deleted: true})
		s.remove(e)
	}
	sortItems(removed)
	return removed
}
