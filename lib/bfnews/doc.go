// Package bfnews has nodes tell each other what they hold of the platform's
// store, so that one that the store turns away still follows the others.
//
// Each node asks a random member now and then, and often while the store does
// not answer it. Who hears of something newer than its own asks for it.
package bfnews
