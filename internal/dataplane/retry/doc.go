// Package retry decides when another attempt of a request is made: by the outcomes of those before, by how long requests of the
// route usually take, and by a budget for the retries of each service.
package retry
