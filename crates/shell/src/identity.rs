//! TLS identities of balancers, derived from the fleet key.
//!
//! All balancers of a fleet have the same certificate. Each side accepts exactly the certificates
//! derived from the current and the previous fleet key.

use std::fmt;
use std::sync::Arc;

use rcgen::CertificateParams;
use rcgen::KeyPair;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::client::Resumption;
use rustls::crypto::verify_tls12_signature;
use rustls::crypto::verify_tls13_signature;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use rustls::version::TLS13;
use rustls::CertificateError;
use rustls::ClientConfig;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::Error;
use rustls::ServerConfig;
use rustls::SignatureScheme;
use wire::seal::Key;

use crate::setting::Keys;

/// The server name in every certificate.
pub const SERVER_NAME: &str = "balancer";
/// ALPN protocol that both sides must offer.
const ALPN_PROTOCOL: &[u8] = b"wasabi/1";
/// Key-derivation context, which separates this use of the fleet key from others.
const KEY_CONTEXT: &[u8] = b"wasabiarch stream identity v1";
/// Bytes that precede the seed of an Ed25519 key in PKCS #8 (RFC 8410).
const PKCS8_PREFIX: [u8; 16] = [
    0x30, 0x2e, 0x02, 0x01, 0x00, 0x30, 0x05, 0x06, 0x03, 0x2b, 0x65, 0x70, 0x04, 0x22, 0x04, 0x20,
];

/// The certificate that a balancer presents and the certificates that it accepts.
pub struct Identity {
    certificate: CertificateDer<'static>,
    key: PrivateKeyDer<'static>,
    verifier: Arc<Verifier>,
}

impl Identity {
    /// Derives an identity from the fleet's keys. The same keys always give the same identity.
    ///
    /// # Errors
    ///
    /// Fails when the libraries refuse the derived key.
    pub fn new(keys: &Keys) -> eyre::Result<Identity> {
        let (certificate, key) = derive_certificate(&keys.current)?;
        let mut accepted = vec![certificate.clone()];
        if let Some(previous) = &keys.previous {
            accepted.push(derive_certificate(previous)?.0);
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier = Arc::new(Verifier { accepted, provider });
        Ok(Identity {
            certificate,
            key,
            verifier,
        })
    }

    /// Makes the TLS configuration of the accepting side.
    ///
    /// # Errors
    ///
    /// Fails when the library refuses the identity.
    pub fn server_config(&self) -> eyre::Result<ServerConfig> {
        let mut config = ServerConfig::builder_with_provider(self.verifier.provider.clone())
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(self.verifier.clone())
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        config.send_tls13_tickets = 0;
        Ok(config)
    }

    /// Makes the TLS configuration of the connecting side.
    ///
    /// # Errors
    ///
    /// Fails when the library refuses the identity.
    pub fn client_config(&self) -> eyre::Result<ClientConfig> {
        let mut config = ClientConfig::builder_with_provider(self.verifier.provider.clone())
            .with_protocol_versions(&[&TLS13])?
            .dangerous()
            .with_custom_certificate_verifier(self.verifier.clone())
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        config.resumption = Resumption::disabled();
        Ok(config)
    }
}

fn derive_certificate(
    key: &Key,
) -> eyre::Result<(CertificateDer<'static>, PrivateKeyDer<'static>)> {
    let mut pkcs8 = [0; 48];
    pkcs8[..16].copy_from_slice(&PKCS8_PREFIX);
    pkcs8[16..].copy_from_slice(&key.derive(KEY_CONTEXT));
    let der = PrivatePkcs8KeyDer::from(pkcs8.to_vec());
    let pair = KeyPair::from_pkcs8_der_and_sign_algo(&der, &rcgen::PKCS_ED25519)?;
    let certificate = CertificateParams::new(vec![SERVER_NAME.to_owned()])?.self_signed(&pair)?;
    Ok((certificate.der().clone(), der.into()))
}

/// Accepts exactly the certificates of the fleet, as client and as server.
struct Verifier {
    accepted: Vec<CertificateDer<'static>>,
    provider: Arc<CryptoProvider>,
}

impl Verifier {
    fn check_certificate(&self, certificate: &CertificateDer<'_>) -> Result<(), Error> {
        match self.accepted.contains(certificate) {
            true => Ok(()),
            false => Err(CertificateError::UnknownIssuer.into()),
        }
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verifier({} certificates)", self.accepted.len())
    }
}

impl ServerCertVerifier for Verifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.check_certificate(end_entity)
            .map(|()| ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        vec![SignatureScheme::ED25519]
    }
}

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.check_certificate(end_entity)
            .map(|()| ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        ServerCertVerifier::verify_tls12_signature(self, message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        ServerCertVerifier::verify_tls13_signature(self, message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        ServerCertVerifier::supported_verify_schemes(self)
    }
}
