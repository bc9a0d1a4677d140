// Package admission limits what a machine handles at a time: it queues requests in front of an upstream,
// bounds the request bodies held in memory and paces large responses on the machine's link.
package admission
