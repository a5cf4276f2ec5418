package speed

import "math"

// dims is how many figures are solved for.
const dims = 3

type vector [dims]float64

type matrix [dims]vector

// squares finds the vector that explains weighted observations best, given a prior
// that keeps its weight: however alike the observations are, there is one solution.
type squares struct {
	prior       matrix
	priorTarget vector
	sum         matrix
	target      vector
}

func newSquares(prior, weight vector) squares {
	var q squares
	for i := range dims {
		q.prior[i][i] = weight[i]
		q.priorTarget[i] = weight[i] * prior[i]
	}
	return q
}

// add takes an observation: x explains y.
func (q *squares) add(x vector, y float64) {
	for i := range dims {
		for j := range dims {
			q.sum[i][j] = keep*q.sum[i][j] + x[i]*x[j]
		}
		q.target[i] = keep*q.target[i] + x[i]*y
	}
}

// solve returns the vector, by Gaussian elimination: the matrix is positive definite.
func (q *squares) solve() vector {
	a, b := q.prior, q.priorTarget
	for i := range dims {
		for j := range dims {
			a[i][j] += q.sum[i][j]
		}
		b[i] += q.target[i]
	}
	for i := range dims {
		for j := i + 1; j < dims; j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < dims; k++ {
				a[j][k] -= f * a[i][k]
			}
			b[j] -= f * b[i]
		}
	}
	var x vector
	for i := dims - 1; i >= 0; i-- {
		x[i] = b[i]
		for j := i + 1; j < dims; j++ {
			x[i] -= a[i][j] * x[j]
		}
		x[i] /= a[i][i]
		if math.IsNaN(x[i]) {
			x[i] = 0
		}
	}
	return x
}
