/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "net/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <memory>
#include <span>
#include <stdexcept>
#include <vector>

namespace Cloverbarrow
{

namespace
{

struct ContextDeleter {
    void operator()(EVP_MD_CTX *context) const
    {
        EVP_MD_CTX_free(context);
    }
};

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    constexpr unsigned Base = 16;
    std::string text;
    for (const unsigned char byte : bytes) {
        text += Digits[byte / Base];
        text += Digits[byte % Base];
    }
    return text;
}

KeyDigest sha256Bytes(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    KeyDigest digest{};
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return digest;
}

unsigned char hexDigit(char digit)
{
    constexpr int LettersStart = 10;
    if (digit >= '0' && digit <= '9') {
        return static_cast<unsigned char>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f') {
        return static_cast<unsigned char>(digit - 'a' + LettersStart);
    }
    throw std::invalid_argument("a key digest has a character that is no hexadecimal digit");
}

} // namespace

std::string sha256(std::initializer_list<std::string_view> parts)
{
    return toHex(sha256Bytes(parts));
}

KeyDigest digestOfKey(std::string_view key)
{
    return sha256Bytes({key});
}

std::string toHex(const KeyDigest &digest)
{
    return toHex(std::span<const unsigned char>(digest));
}

KeyDigest keyDigestFromHex(std::string_view text)
{
    constexpr unsigned Base = 16;
    KeyDigest digest{};
    if (text.size() != digest.size() * 2) {
        throw std::invalid_argument("a key digest has " + std::to_string(text.size()) + " digits");
    }
    for (std::size_t index = 0; index < digest.size(); ++index) {
        digest[index] = static_cast<std::uint8_t>(hexDigit(text[2 * index]) * Base + hexDigit(text[2 * index + 1]));
    }
    return digest;
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("generate nonce: the operating system returned no random bytes");
    }
    return toHex(random);
}

} // namespace Cloverbarrow
