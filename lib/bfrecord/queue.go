package bfrecord

// queue is a FIFO queue with amortized constant cost.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) front() T { return q.items[q.head] }

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) pop() T {
	item := q.items[q.head]
	var zero T
	q.items[q.head] = zero
	q.head++
	// Compacting only when half is free amortizes to at most one move per item.
	if q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
	return item
}
