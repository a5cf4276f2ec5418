package speed

import "math"

// dims is the number of coefficients.
const dims = 3

type vector [dims]float64

type matrix [dims]vector

// leastSquares is a linear regression with exponential forgetting and a prior. The prior keeps its
// weight, so that the solution is unique however similar the observations are.
type leastSquares struct {
	priorGram   matrix
	priorMoment vector
	gram        matrix // weighted sum of the products of the regressors with each other
	moment      vector // weighted sum of the products of the regressors with the observed value
}

func newLeastSquares(prior, weight vector) leastSquares {
	var q leastSquares
	for i := range dims {
		q.priorGram[i][i] = weight[i]
		q.priorMoment[i] = weight[i] * prior[i]
	}
	return q
}

// add adds an observation y of the product of the coefficients with x.
func (q *leastSquares) add(x vector, y float64) {
	for i := range dims {
		for j := range dims {
			q.gram[i][j] = forgetting*q.gram[i][j] + x[i]*x[j]
		}
		q.moment[i] = forgetting*q.moment[i] + x[i]*y
	}
}

// solve returns the coefficients, by Gaussian elimination without pivoting: the matrix is positive
// definite.
func (q *leastSquares) solve() vector {
	a, b := q.priorGram, q.priorMoment
	for i := range dims {
		for j := range dims {
			a[i][j] += q.gram[i][j]
		}
		b[i] += q.moment[i]
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
