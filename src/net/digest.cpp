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

} // namespace

std::string sha256(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view part : parts) {
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    return toHex(std::span(digest).first(size));
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
