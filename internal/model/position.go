package model

// eraShift is the number of bits of a position that hold the offset. 48 bits suffice for 8,900 years of 1,000 records per second.
const eraShift = 48

// MaxEra is the highest era of the platform's store that a position and a fence can hold. Fences are JSON numbers below 2^53 of which
// 8 bits are left for the era.
const MaxEra = 255

// PositionAt returns the position of an offset of a topic in an era of the platform's store. The store starts a new era, with offsets
// that it may have issued before, when it is restored from an older copy. Positions are ordered by their era first, so a position
// of an earlier era is never taken for a later one. In era 0 the position is the offset.
func PositionAt(era, offset uint64) uint64 { return era<<eraShift + offset }

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 { return position >> eraShift }

// OffsetOf returns the offset of a position in its era.
func OffsetOf(position uint64) uint64 { return position & (1<<eraShift - 1) }
