package faultfs

import (
	"fmt"
	"iter"
	"slices"
	"strings"
)

// CrashStates returns the file systems that a crash may leave, each once: every name change that was not synced is kept or
// lost, and every write that was not synced is present, missing or torn, independently of the others. This file system
// stays as it is.
func (f *FS) CrashStates() iter.Seq[*FS] {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []*FS
	seen := map[string]bool{}
	for kept := range 1 << len(f.unsyncedChanges) {
		names := cloneNames(f.durableFiles)
		for i, change := range f.unsyncedChanges {
			if kept>>i&1 == 1 {
				change(names)
			}
		}
		for _, files := range crashContents(names) {
			if key := describe(files); !seen[key] {
				seen[key] = true
				s := New()
				s.files, s.durableFiles = files, cloneNames(files)
				states = append(states, s)
			}
		}
	}
	return slices.Values(states)
}

// Clone returns a file system with the same files, all durable.
func (f *FS) Clone() *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	clone := New()
	for name, n := range f.files {
		clone.files[name] = &inode{data: slices.Clone(n.data), syncedBytes: len(n.data)}
	}
	clone.durableFiles = cloneNames(clone.files)
	return clone
}

// crashContents returns each combination of what a crash may leave of the named files.
func crashContents(names map[string]*inode) []map[string]*inode {
	combinations := []map[string]*inode{{}}
	for _, name := range sortedNames(names) {
		var extended []map[string]*inode
		for _, data := range names[name].crashVariants() {
			for _, c := range combinations {
				c = cloneNames(c)
				c[name] = &inode{data: slices.Clone(data), syncedBytes: len(data)}
				extended = append(extended, c)
			}
		}
		combinations = extended
	}
	return combinations
}

// crashVariants returns what a crash may leave of the file's contents. What is missing of a write reads as zeros, or the file
// is shorter.
func (n *inode) crashVariants() [][]byte {
	variants := [][]byte{n.data[:n.syncedBytes]}
	start := n.syncedBytes
	for _, end := range n.writeEnds {
		size := end - start
		cuts := []int{0, min(4, size), min(8, size), size / 2, max(0, size-1), size}
		slices.Sort(cuts)
		cuts = slices.Compact(cuts)
		next := slices.Clone(variants)
		for _, before := range variants {
			padded := append(slices.Clone(before), make([]byte, start-len(before))...)
			for i, from := range cuts {
				for _, to := range cuts[i:] {
					torn := append(slices.Clone(padded), make([]byte, from)...)
					torn = append(torn, n.data[start+from:start+to]...)
					next = append(next, torn, append(slices.Clone(torn), make([]byte, size-to)...))
				}
			}
		}
		variants, start = next, end
	}
	return variants
}

// describe returns a string that identifies the names and contents of files.
func describe(files map[string]*inode) string {
	var b strings.Builder
	for _, name := range sortedNames(files) {
		fmt.Fprintf(&b, "%s %d ", name, len(files[name].data))
		b.Write(files[name].data)
	}
	return b.String()
}
