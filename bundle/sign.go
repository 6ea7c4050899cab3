package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// signedPrefix keeps a signature over a bundle from being taken for one over anything else.
const signedPrefix = "sardinerock bundle "

// GenerateKey returns a new key pair in the form that settings and files hold: base64 of the public key and of the seed.
func GenerateKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", merry.Prepend(err, "key generation")
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// ParsePublicKey reads a public key as GenerateKey gives it.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, merry.Errorf("public key %q is not base64 of %d bytes; `sardinerock keygen` makes one", text, ed25519.PublicKeySize)
	}
	return raw, nil
}

// ParsePrivateKey reads a private key as GenerateKey gives it.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.SeedSize {
		return nil, merry.Errorf("private key is not base64 of %d bytes; `sardinerock keygen` makes one", ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// Sign returns the signer's sign-off of a bundle.
func Sign(b *sardinerock.Bundle, signer string, key ed25519.PrivateKey) sardinerock.SignOff {
	signature := ed25519.Sign(key, []byte(signedPrefix+Digest(b)))
	return sardinerock.SignOff{Signer: signer, Signature: base64.StdEncoding.EncodeToString(signature)}
}

// Verify returns an error unless at least needed of the known signers have signed off the bundle.
func Verify(b *sardinerock.Bundle, keys map[string]ed25519.PublicKey, needed int) error {
	return VerifySignOffs(Digest(b), b.SignOffs, keys, needed)
}

// VerifySignOffs is Verify for a digest that is known already. It refuses also a single wrong signature: it was made over
// another digest, so somebody believes that other content was signed off.
func VerifySignOffs(digest string, signOffs []sardinerock.SignOff, keys map[string]ed25519.PublicKey, needed int) error {
	valid := map[string]bool{}
	for _, s := range signOffs {
		key, ok := keys[s.Signer]
		if !ok {
			if needed == 0 {
				continue
			}
			return merry.Errorf("signer %q is not among the signers of the settings", s.Signer)
		}
		signature, err := base64.StdEncoding.DecodeString(s.Signature)
		if err != nil || !ed25519.Verify(key, []byte(signedPrefix+digest), signature) {
			return merry.Errorf("sign-off of %q is not over this bundle's digest %s", s.Signer, digest)
		}
		// By key, not by name: one key under two names is one sign-off.
		valid[string(key)] = true
	}
	if len(valid) < needed {
		return merry.Errorf("%d of %d needed sign-offs are there", len(valid), needed)
	}
	return nil
}
