package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"

	"github.com/ansel1/merry/v2"

	"github.com/sardinerock/sardinerock"
)

// signedPrefix is prepended to the signed digest, so that a signature made for another purpose is not valid for a bundle.
const signedPrefix = "sardinerock bundle "

// GenerateKey returns a new key pair in the format of settings and key files: base64 of the public key and of the private key's seed.
func GenerateKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", merry.Prepend(err, "key generation")
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv.Seed()), nil
}

// ParsePublicKey decodes a public key in the format of GenerateKey.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, merry.Errorf("public key %q is not base64 of %d bytes; `sardinerock keygen` generates one", text, ed25519.PublicKeySize)
	}
	return raw, nil
}

// ParsePrivateKey decodes a private key in the format of GenerateKey.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != ed25519.SeedSize {
		return nil, merry.Errorf("private key is not base64 of %d bytes; `sardinerock keygen` generates one", ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// Sign returns the signer's sign-off, a signature of the bundle's digest.
func Sign(b *sardinerock.Bundle, signer string, key ed25519.PrivateKey) sardinerock.SignOff {
	signature := ed25519.Sign(key, []byte(signedPrefix+Digest(b)))
	return sardinerock.SignOff{Signer: signer, Signature: base64.StdEncoding.EncodeToString(signature)}
}

// Verify returns an error unless the bundle has valid sign-offs made with at least needed different keys, and no invalid one.
func Verify(b *sardinerock.Bundle, keys map[string]ed25519.PublicKey, needed int) error {
	return VerifySignOffs(Digest(b), b.SignOffs, keys, needed)
}

// VerifySignOffs does the same as Verify for the digest of a bundle. A single invalid signature is an error even if
// enough others are valid: it was made for another digest, so its signer expects other content.
func VerifySignOffs(digest string, signOffs []sardinerock.SignOff, keys map[string]ed25519.PublicKey, needed int) error {
	valid := map[string]bool{}
	for _, s := range signOffs {
		key, ok := keys[s.Signer]
		if !ok {
			if needed == 0 {
				continue
			}
			return merry.Errorf("signer %q is not one of the signers in the settings", s.Signer)
		}
		signature, err := base64.StdEncoding.DecodeString(s.Signature)
		if err != nil || !ed25519.Verify(key, []byte(signedPrefix+digest), signature) {
			return merry.Errorf("sign-off of %q is not a valid signature of the bundle's digest %s", s.Signer, digest)
		}
		// Count keys, not names: a key that is configured under two names counts once.
		valid[string(key)] = true
	}
	if len(valid) < needed {
		return merry.Errorf("bundle has %d of %d required sign-offs", len(valid), needed)
	}
	return nil
}
